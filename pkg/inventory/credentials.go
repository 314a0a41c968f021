package inventory

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
)

// MaxCredentialBytes bounds the length of a credential. A longer one is unknown without being hashed.
const MaxCredentialBytes = 256

// CredentialDigest is what is kept of a credential. It can't be turned back into the credential.
type CredentialDigest [sha256.Size]byte

// DigestCredential returns the digest of a credential under a salt: its HMAC-SHA256.
func DigestCredential(salt []byte, credential string) CredentialDigest {
	mac := hmac.New(sha256.New, salt)
	// Writing to a hash never fails.
	_, _ = mac.Write([]byte(credential))
	return CredentialDigest(mac.Sum(nil))
}

// digestPrefix is the part of a digest by which it is looked up. The whole digest is then compared in constant time.
type digestPrefix [8]byte

type credentialHolder struct {
	digest       CredentialDigest
	organisation *Organisation
}

// OrganisationError is the error for an organisation that contradicts the one before it.
type OrganisationError struct {
	// Index is the position of the organisation, and Credential the position of the credential at fault, -1 if it is the name.
	Index, Credential int
	// Other is the name of the organisation that already has the name or the credential.
	Other string
}

// Error implements error. It doesn't contain the credential.
func (e *OrganisationError) Error() string {
	if e.Credential < 0 {
		return fmt.Sprintf("organisation %d has the name of an earlier one, %q", e.Index, e.Other)
	}
	return fmt.Sprintf("credential %d of organisation %d also belongs to %q", e.Credential, e.Index, e.Other)
}

// SetOrganisations sets the organisations, and for each the digests of its credentials under the salt. The error is an
// *OrganisationError if two organisations share a name or a credential.
func (c *Configuration) SetOrganisations(organisations []*Organisation, digests [][]CredentialDigest, salt []byte) error {
	c.Organisations, c.salt, c.credentials = map[string]*Organisation{}, salt, map[digestPrefix][]credentialHolder{}
	for i, o := range organisations {
		if c.Organisations[o.Name] != nil {
			return &OrganisationError{Index: i, Credential: -1, Other: o.Name}
		}
		c.Organisations[o.Name] = o
		for j, digest := range digests[i] {
			holder := c.holder(digest)
			if holder != nil && holder != o {
				return &OrganisationError{Index: i, Credential: j, Other: holder.Name}
			}
			if holder == nil {
				prefix := digestPrefix(digest[:])
				c.credentials[prefix] = append(c.credentials[prefix], credentialHolder{digest, o})
				o.Credentials++
			}
		}
	}
	return nil
}

// Authenticate returns the organisation that holds a credential, and false if none does.
func (c *Configuration) Authenticate(credential string) (*Organisation, bool) {
	if credential == "" || len(credential) > MaxCredentialBytes || len(c.credentials) == 0 {
		return nil, false
	}
	o := c.holder(DigestCredential(c.salt, credential))
	return o, o != nil
}

func (c *Configuration) holder(digest CredentialDigest) *Organisation {
	var found *Organisation
	for _, h := range c.credentials[digestPrefix(digest[:])] {
		if subtle.ConstantTimeCompare(h.digest[:], digest[:]) == 1 {
			found = h.organisation
		}
	}
	return found
}
