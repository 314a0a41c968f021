// Package fingerprint implements the filter that computes a hash by which equal requests are recognized.
package fingerprint

// New returns a new Filter.
func New() *Filter {
	return &Filter{}
}
