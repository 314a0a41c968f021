package finding

// View is a finding as JSON.
type View struct {
	Severity string `json:"severity"`
	File     string `json:"file,omitempty"`
	Line     int    `json:"line,omitempty"`
	Column   int    `json:"column,omitempty"`
	Path     string `json:"path"`
	Message  string `json:"message"`
	Allowed  string `json:"allowed,omitempty"`
	Risky    bool   `json:"risky,omitempty"`
}

// Views returns the findings as they are encoded as JSON. It isn't nil, so that an empty list is encoded as one.
func (l List) Views() []View {
	views := make([]View, 0, len(l))
	for _, f := range l {
		views = append(views, View{
			Severity: f.Severity.String(),
			File:     f.Position.File,
			Line:     f.Position.Line,
			Column:   f.Position.Column,
			Path:     f.Path,
			Message:  f.Message,
			Allowed:  f.Allowed,
			Risky:    f.Risky,
		})
	}
	return views
}
