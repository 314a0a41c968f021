// Package idempotency implements the filter that requires an idempotency key for requests that must not be executed twice.
package idempotency

// New returns a new Filter.
func New() *Filter {
	return &Filter{}
}
