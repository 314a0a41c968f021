// Package requestid implements the filter that assigns an ID to every request.
package requestid

// New returns a new Filter.
func New() *Filter {
	return &Filter{}
}
