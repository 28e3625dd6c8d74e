package link

import "slatewind.example/slatewind"

// LimitMessage returns a server's limit as it is sent between processes.
func LimitMessage(limit slatewind.ServerLimit) *float64 {
	if !limit.Stated {
		return nil
	}
	return &limit.PerSecond
}

// LimitOf returns the server's limit that LimitMessage sent.
func LimitOf(message *float64) slatewind.ServerLimit {
	if message == nil {
		return slatewind.ServerLimit{}
	}
	return slatewind.ServerLimit{Stated: true, PerSecond: *message}
}
