package bodylimit

import (
	"container/list"
	"sync"
)

// DefaultAnswerBytes is the default capacity of Answers, in bytes.
const DefaultAnswerBytes = 16 << 20

// Answers bounds the memory of the answers that callers have not read yet. When they exceed it, the
// oldest ones are cut off: their callers have had the most time to read them. It is safe for
// concurrent use.
type Answers struct {
	capacity int64

	// mu guards the fields below.
	mu sync.Mutex
	// held holds the *heldAnswer values, oldest first; bytes is their total size.
	held  *list.List
	bytes int64
	// cut is the number of answers that were cut off.
	cut uint64
}

// heldAnswer is an answer that is being written to its caller.
type heldAnswer struct {
	bytes   int64
	abort   func()
	removed bool
}

// NewAnswers returns a bound of a number of bytes; zero or less means DefaultAnswerBytes.
func NewAnswers(capacity int64) *Answers {
	if capacity <= 0 {
		capacity = DefaultAnswerBytes
	}
	return &Answers{capacity: capacity, held: list.New()}
}

// Hold records that an answer of the given size in bytes is being written. It never waits: if the
// bound is exceeded, it calls abort of the oldest other answers until the rest fits. abort must not
// block. release must be called when the answer has been written or cut off.
func (a *Answers) Hold(bytes int64, abort func()) (release func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	added := a.held.PushBack(&heldAnswer{bytes: bytes, abort: abort})
	a.bytes += bytes
	for oldest := a.held.Front(); a.bytes > a.capacity && oldest != added; oldest = a.held.Front() {
		a.remove(oldest).abort()
		a.cut++
	}
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.remove(added)
	})
}

// remove removes an answer, if it has not been removed before. a.mu is held.
func (a *Answers) remove(element *list.Element) *heldAnswer {
	answer := element.Value.(*heldAnswer)
	if !answer.removed {
		answer.removed = true
		a.held.Remove(element)
		a.bytes -= answer.bytes
	}
	return answer
}

// AnswersView is the use of Answers in a state dump.
type AnswersView struct {
	Unread   int    `json:"unread"`
	Bytes    int64  `json:"bytes"`
	Capacity int64  `json:"capacity"`
	Cut      uint64 `json:"cut"`
}

// View returns the present use.
func (a *Answers) View() AnswersView {
	a.mu.Lock()
	defer a.mu.Unlock()
	return AnswersView{Unread: a.held.Len(), Bytes: a.bytes, Capacity: a.capacity, Cut: a.cut}
}
