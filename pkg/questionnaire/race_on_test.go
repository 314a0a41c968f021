//go:build race

package questionnaire

// raceFactor allows for the race detector, which made this work 4 to 7 times slower.
const raceFactor = 8
