// Package deadline bounds the time of a request.
package deadline

// New returns the filter.
func New() *Filter {
	return &Filter{}
}
