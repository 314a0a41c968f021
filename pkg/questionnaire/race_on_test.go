//go:build race

package questionnaire

// raceFactor extends time limits for the race detector, which made the measured work 4 to 7 times slower.
const raceFactor = 8
