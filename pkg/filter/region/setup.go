// Package region implements the checks that keep requests with home regions out of other regions.
package region

// New returns a Filter for a router in the region localRegion.
func New(localRegion string) *Filter {
	return &Filter{localRegion: localRegion}
}
