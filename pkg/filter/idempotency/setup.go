// Package idempotency requires an idempotency key for requests that must not run twice.
package idempotency

// New returns the filter.
func New() *Filter {
	return &Filter{}
}
