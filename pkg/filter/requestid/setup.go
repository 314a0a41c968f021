// Package requestid gives every request an ID.
package requestid

// New returns the filter.
func New() *Filter {
	return &Filter{}
}
