package hsid

// Accelerators counts accelerators.
type Accelerators int

// AcceleratorIndex is the position of one accelerator on its worker, from 0.
type AcceleratorIndex int

// WorkerCount counts workers.
type WorkerCount int

// MilliCores is processor time in thousandths of a core.
type MilliCores int64

// Bytes is a size in bytes.
type Bytes int64

// Sizes in bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)
