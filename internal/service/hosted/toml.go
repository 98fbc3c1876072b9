package hosted

import "gapgap/internal/tomlfile"

// Error is a fault of a configuration file, where it stands.
type Error = tomlfile.Error

// Duration is a time in a file, such as "250ms".
type Duration = tomlfile.Duration
