package capacity_test

import "net/http"

func newRequest(path string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://any"+path, nil)
	if err != nil {
		panic(err)
	}
	return request
}
