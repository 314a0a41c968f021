package configcheck

import "github.com/bronzelever/bronzelever/pkg/inventory"

// credentialPlace is where a credential appears first.
type credentialPlace struct {
	path         string
	organisation int
}

func (c *checker) checkOrganisations() {
	names, credentials := map[string]string{}, map[inventory.CredentialDigest]credentialPlace{}
	for i, o := range c.Organisations {
		if first, ok := names[o.Name]; ok && o.Name != "" {
			c.fail(o.Path, Name, "organisation %q is already listed at %s", o.Name, first)
		} else {
			names[o.Name] = o.Path
		}
		c.checkQuota(o)
		c.checkRegions(o.Path, o.HomeRegions)
		if len(o.Held) == 0 {
			c.warn(o.Path, Credentials, "there is none, so that the organisation can send no requests")
		}
		for _, credential := range o.Held {
			c.checkCredential(i, credential, credentials)
		}
	}
}

func (c *checker) checkQuota(o OrganisationItem) {
	switch {
	case o.Rate > 0 && o.Burst >= 0 && o.Burst < 1:
		c.warn(o.Path, Burst, "is below 1 with a rate; requests pass only within the tolerance of the quota")
	case o.Rate == 0 && o.Burst > 0:
		c.warn(o.Path, Burst, "has no effect, because the rate is 0 or missing, which sets no limit")
	}
	if o.Priority > maxPriority {
		c.warn(o.Path, Priority, "is above %d, beyond which ranks aren't distinguished", maxPriority)
	}
}

// checkCredential reports a credential by its place.
func (c *checker) checkCredential(organisation int, credential Credential, seen map[inventory.CredentialDigest]credentialPlace) {
	switch {
	case credential.Bytes == 0:
		c.fail(credential.Path, Self, "is empty")
		return
	case credential.Bytes > inventory.MaxCredentialBytes:
		c.fail(credential.Path, Self, "has %d bytes; requests with more than %d are refused", credential.Bytes, inventory.MaxCredentialBytes)
		return
	case !credential.Sendable:
		c.warn(credential.Path, Self, "can't be sent in a header field, because of a control character or a space at an end")
	}
	first, ok := seen[credential.Digest]
	switch {
	case ok && first.organisation == organisation:
		c.fail(credential.Path, Self, "is the same as %s", first.path)
	case ok:
		c.fail(credential.Path, Self, "is the same as %s of another organisation", first.path)
	default:
		seen[credential.Digest] = credentialPlace{credential.Path, organisation}
	}
}
