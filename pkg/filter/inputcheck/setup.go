// Package inputcheck implements the filter that rejects malformed and oversized requests.
package inputcheck

// New returns a new Filter.
func New() *Filter {
	return &Filter{}
}
