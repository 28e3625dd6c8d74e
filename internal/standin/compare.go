package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// Compare sends count GET requests to each URL, alternating between the URLs and
// one at a time. It returns the sorted durations by URL, in the order of urls.
func Compare(count int, urls ...string) ([][]time.Duration, error) {
	client := &http.Client{Timeout: callerTimeout}
	took := make([][]time.Duration, len(urls))
	for range count {
		for i, url := range urls {
			began := time.Now()
			if err := get(client, url); err != nil {
				return nil, err
			}
			took[i] = append(took[i], time.Since(began))
		}
	}
	for i := range took {
		slices.Sort(took[i])
	}
	return took, nil
}

func get(client *http.Client, url string) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	return nil
}

// Quantile returns the q-quantile, with q from 0 to 1, of sorted durations, of which there
// must be at least one.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
