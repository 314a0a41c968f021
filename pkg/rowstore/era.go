package rowstore

// The store may be restored from an older copy of itself. It then assigns numbers again that it had assigned before, and increments its
// era. All versions in this module combine both, so that any version of a later era is higher than any of an earlier one.

const (
	// numberBits is the number of lower bits of a version that hold the store's number. The upper bits hold the era.
	numberBits = 44
	// MaxEra is the highest era that a version can hold.
	MaxEra = 1<<(64-numberBits) - 1
	// MaxNumber is the highest number of the store that a version can hold.
	MaxNumber = 1<<numberBits - 1
)

// Version combines an era, at most MaxEra, and a number of the store, at most MaxNumber. In era 0 the version equals the number.
func Version(era, number uint64) uint64 {
	return era<<numberBits | number
}

// Era returns the era of a version.
func Era(version uint64) uint64 {
	return version >> numberBits
}

// Number returns the store's number in a version. It is 0 if the version stands for a row that doesn't exist.
func Number(version uint64) uint64 {
	return version & MaxNumber
}

// Missing returns the version that stands for a row that doesn't exist in the era of the given version.
func Missing(version uint64) uint64 {
	return version &^ MaxNumber
}
