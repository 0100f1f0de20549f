package hsid

// Accelerators is a number of accelerators.
type Accelerators int

// AcceleratorIndex is the position of one accelerator on its worker, from 0.
type AcceleratorIndex int

// WorkerCount is a number of workers.
type WorkerCount int

// MilliCores is processor capacity in thousandths of a core.
type MilliCores int64

// Bytes is a size in bytes.
type Bytes int64

// Binary multiples of a byte.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)
