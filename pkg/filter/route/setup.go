// Package route finds the route and pool of a request.
package route

// New returns the filter.
func New() *Filter {
	return &Filter{}
}
