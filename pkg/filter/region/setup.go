// Package region is the guard for requests that are bound to home regions.
package region

// New returns the filter of a router in the named region.
func New(own string) *Filter {
	return &Filter{own: own}
}
