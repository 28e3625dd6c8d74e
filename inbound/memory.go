package inbound

import (
	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/usage"
)

// Memory bounds the memory that requests at the server take in this process. A nil field means the default bound.
type Memory struct {
	// Guard refuses reservations while the process is short of memory; nil means that no limit is known.
	Guard *usage.Guard
	// Requests bounds the bodies of requests.
	Requests *bodylimit.Budget
	// Answers bounds the bodies of answers that are buffered until they are complete, beyond the first chunk of each. An
	// answer that does not fit is passed on while it arrives.
	Answers *bodylimit.Budget
}

func (m Memory) withDefaults() Memory {
	if m.Requests == nil {
		m.Requests = bodylimit.NewBudget(0)
	}
	if m.Answers == nil {
		m.Answers = bodylimit.NewBudget(bodylimit.DefaultAnswerBytes)
	}
	return m
}
