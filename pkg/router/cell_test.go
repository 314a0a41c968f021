package router

import (
	"fmt"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Guards against claims that don't fit in a frame, and against claims that are lost between two pages.
func TestClaimsPages(t *testing.T) {
	all := &wire.ClaimsReply{Since: 7}
	const claims = 100
	for i := range claims {
		all.Claims = append(all.Claims, wire.Claim{Key: fmt.Sprintf("%03d", (i*37)%claims), Body: make([]byte, 40<<10)})
	}
	seen := map[string]bool{}
	after := ""
	for pages := 1; ; pages++ {
		page := claimsPage(all, after)
		if _, err := wire.AppendMessage(nil, wire.Version, wire.TypeClaimsReply, page); err != nil {
			t.Fatal(err)
		}
		for _, k := range page.Claims {
			seen[k.Key] = true
			after = k.Key
		}
		if page.Since != 7 {
			t.Errorf("since %d", page.Since)
		}
		if !page.More {
			break
		}
		if pages > claims {
			t.Fatal("the pages don't end")
		}
	}
	if len(seen) != claims {
		t.Errorf("%d of %d claims arrived", len(seen), claims)
	}
}
