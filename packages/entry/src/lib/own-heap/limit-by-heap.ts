import type {OverloadMonitor} from '../own-health/overload-monitor.js';
import type {HeapMonitor} from './heap-monitor.js';

/** Makes the monitor of a host's overload refuse new requests also while open ones fill the heap. The monitor that is returned closes both. */
export const limitByHeap = (overload: OverloadMonitor, heap: HeapMonitor): OverloadMonitor => ({
	...overload,
	isShedding: rank => heap.isFull() || overload.isShedding(rank),
	cause: () => heap.isFull() ? 'memory' : overload.cause(),
	close() {
		overload.close();
		heap.close();
	},
});
