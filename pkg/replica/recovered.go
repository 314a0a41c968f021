package replica

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// errOutOfTurn means that a connection was opened with another message than a report.
var errOutOfTurn = errors.New("the first message isn't a report")

// stackBytes bounds the stack in an error.
const stackBytes = 2 << 10

// PanicError is a panic in the handling of a message.
type PanicError struct {
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("unexpected error: %v\n%s", e.Value, e.Stack)
}

// recovered, when deferred, turns a panic into an error. One message must not end the process.
func recovered(err *error) {
	if v := recover(); v != nil {
		stack := debug.Stack()
		*err = &PanicError{Value: v, Stack: stack[:min(len(stack), stackBytes)]}
	}
}
