// Package route implements the filter that selects the route and pool of a request.
package route

// New returns a new Filter.
func New() *Filter {
	return &Filter{}
}
