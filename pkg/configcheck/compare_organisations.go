package configcheck

import "github.com/bronzelever/bronzelever/pkg/inventory"

func (c *comparison) compareOrganisations() {
	c.compareAuthentication()
	old, kept := map[string]OrganisationItem{}, map[string]bool{}
	for _, o := range c.inForce.Organisations {
		old[o.Name] = o
	}
	for _, o := range c.next.Organisations {
		kept[o.Name] = true
		if was, ok := old[o.Name]; ok {
			c.compareOrganisation(was, o)
			continue
		}
		c.add(c.next, o.Path, Self, false, "organisation %q is added with %d credentials", o.Name, len(digests(o)))
	}
	for _, o := range c.inForce.Organisations {
		if !kept[o.Name] {
			c.add(c.inForce, o.Path, Self, true, "organisation %q is removed; its %d credentials are rejected", o.Name, len(digests(o)))
		}
	}
}

// compareAuthentication reports that credentials become necessary or are no longer looked at. Both concern all routes.
func (c *comparison) compareAuthentication() {
	was, is := len(c.inForce.Organisations) > 0, len(c.next.Organisations) > 0
	switch {
	case is && !was:
		c.add(c.next, "", Organisations, true, "requests need a credential from now on, except on public routes")
	case was && !is:
		c.add(c.next, "", Organisations, true, "no request needs a credential any more, and there are no quotas")
	}
}

func (c *comparison) compareOrganisation(was, is OrganisationItem) {
	value(c, is.Path, Priority, was.Priority, is.Priority, is.Priority > was.Priority)
	limit(c, is.Path, Rate, was.Rate, is.Rate)
	value(c, is.Path, Burst, was.Burst, is.Burst, is.Rate > 0 && is.Burst < was.Burst)
	c.regions(is.Path, was.HomeRegions, is.HomeRegions)
	c.compareCredentials(was, is)
}

// compareCredentials reports how many credentials are added and removed.
func (c *comparison) compareCredentials(was, is OrganisationItem) {
	old, next := digests(was), digests(is)
	added, removed := 0, 0
	for digest := range next {
		if !old[digest] {
			added++
		}
	}
	for digest := range old {
		if !next[digest] {
			removed++
		}
	}
	switch {
	case added+removed == 0:
	case len(next) == 0:
		c.add(c.next, is.Path, Credentials, true, "%d removed, none left: all requests of the organisation are rejected", removed)
	case added == 0:
		c.add(c.next, is.Path, Credentials, false, "%d removed, %d left", removed, len(next))
	default:
		c.add(c.next, is.Path, Credentials, removed == len(old) && removed > 0, "%d added, %d removed of %d", added, removed, len(old))
	}
}

// digests returns the different credentials of an organisation.
func digests(o OrganisationItem) map[inventory.CredentialDigest]bool {
	set := map[inventory.CredentialDigest]bool{}
	for _, credential := range o.Held {
		set[credential.Digest] = true
	}
	return set
}
