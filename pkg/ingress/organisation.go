package ingress

import (
	"net/http"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// Reasons for which a credential is rejected. They are values of a metric's label, so there are only a few.
const (
	reasonCredentialMissing  = "credential-missing"
	reasonCredentialRepeated = "credential-repeated"
	reasonCredentialTooLong  = "credential-too-long"
	reasonCredentialUnknown  = "credential-unknown"
	// reasonConfigurationStale means that this VM can't know whether the credential is still valid.
	reasonConfigurationStale = "configuration-stale"
)

// authenticate determines the organisation that sent the request. It does nothing if no organisations are configured.
func (c *call) authenticate(cfg *inventory.Configuration) error {
	c.identified = len(cfg.Organisations) > 0
	if !c.identified || c.route.Public {
		return nil
	}
	if c.MaxConfigurationAge > 0 && c.ConfigurationAge() > c.MaxConfigurationAge {
		return &statusError{http.StatusServiceUnavailable, reasonConfigurationStale, unconfiguredRetryAfter}
	}
	reason := ""
	c.organisation, reason = identify(cfg, c.Dialect.Credentials(c.r.Header))
	if reason != "" {
		return &statusError{http.StatusUnauthorized, reason, 0}
	}
	return nil
}

// identify returns the organisation that holds the only credential among the values, or the reason why there is none.
func identify(cfg *inventory.Configuration, values []string) (*inventory.Organisation, string) {
	switch {
	case len(values) == 0 || len(values) == 1 && values[0] == "":
		return nil, reasonCredentialMissing
	case len(values) > 1:
		return nil, reasonCredentialRepeated
	case len(values[0]) > inventory.MaxCredentialBytes:
		return nil, reasonCredentialTooLong
	}
	organisation, ok := cfg.Authenticate(values[0])
	if !ok {
		return nil, reasonCredentialUnknown
	}
	return organisation, ""
}

// organisationName returns the name of the organisation that sent the request, or an empty string.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// setOrganisation replaces the credential in the header of a request to a target by the name of the organisation. Without organisations
// the header stays as the caller sent it.
func (c *call) setOrganisation(h http.Header) {
	if c.identified {
		c.Dialect.SetOrganisation(h, c.organisationName())
	}
}

// caller returns what identifies the caller in the fingerprint of the request: its organisation, or its credential if no organisations
// are configured. It is empty on public routes, whose callers need no credential.
func (c *call) caller() string {
	if c.identified {
		return c.organisationName()
	}
	return c.meta.Caller
}

// resolveRegions determines the regions that both the route and the organisation allow. If there is none, no wait would help.
func (c *call) resolveRegions() error {
	c.allowedRegions = c.route.HomeRegions
	if c.organisation == nil || len(c.organisation.HomeRegions) == 0 {
		return nil
	}
	if len(c.route.HomeRegions) == 0 {
		c.allowedRegions = c.organisation.HomeRegions
		return nil
	}
	c.allowedRegions = nil
	for _, region := range c.route.HomeRegions {
		if c.organisation.AllowsRegion(region) {
			c.allowedRegions = append(c.allowedRegions, region)
		}
	}
	if len(c.allowedRegions) == 0 {
		// An empty list would permit all regions.
		return &statusError{http.StatusServiceUnavailable, "no-common-region", c.retryAfter(0)}
	}
	return nil
}

// allowsRegion reports whether a region may serve the request.
func (c *call) allowsRegion(region string) bool {
	return len(c.allowedRegions) == 0 || slices.Contains(c.allowedRegions, region)
}
