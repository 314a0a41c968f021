// Package inputcheck refuses malformed and oversized requests.
package inputcheck

// New returns the filter.
func New() *Filter {
	return &Filter{}
}
