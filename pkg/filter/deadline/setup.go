// Package deadline implements the filter that limits the duration of a request.
package deadline

// New returns a new Filter.
func New() *Filter {
	return &Filter{}
}
