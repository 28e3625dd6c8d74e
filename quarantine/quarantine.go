// Package quarantine knows requests again under which servers ended.
//
// Some requests end each server that runs them. A breaker does not help: it speaks of the
// server, and the next attempt takes the request to the next one that is well. So a request is
// known by a digest of its content, whoever sends it again and wherever.
package quarantine
