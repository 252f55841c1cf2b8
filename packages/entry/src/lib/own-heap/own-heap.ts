import {constants, PerformanceObserver} from 'node:perf_hooks';
import {getHeapStatistics} from 'node:v8';
import type {Heap} from './heap.js';

/** What Node.js tells of a collection. */
type Collection = {readonly detail: {readonly kind: number}};

/** The heap of this process. */
export const ownHeap: Heap = {
	use() {
		const {used_heap_size: usedBytes, heap_size_limit: limitBytes} = getHeapStatistics();
		return {usedBytes, limitBytes};
	},
	onCollected(callback) {
		const observer = new PerformanceObserver(list => {
			if ((list.getEntries() as unknown as readonly Collection[]).some(({detail: {kind}}) => kind === constants.NODE_PERFORMANCE_GC_MAJOR)) {
				callback();
			}
		});
		observer.observe({entryTypes: ['gc']});
		return () => {
			observer.disconnect();
		};
	},
};
