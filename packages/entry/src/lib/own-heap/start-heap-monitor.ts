import type {Log} from '../../adapter/log.js';
import type {HeapMonitor} from './heap-monitor.js';
import type {Heap} from './heap.js';
import {planHeapLimit} from './plan-heap-limit.js';

/**
The part of the limit of the heap that may be live. A third of the limit is for new objects, where those of open requests do not stay; and between two full
collections the heap grows by about a third.
*/
const liveShare = 0.45;

/** The part of the limit that may be used at all: on a busy machine a full collection may end late, when much of its time for the heap to grow has passed. */
const usedShare = 0.58;

/** A host always serves a few requests: without any, nothing would free its heap. */
const minOpen = 4;

type Options = {
	/** The number of requests that are open now. */
	readonly open: () => number;
	readonly heap: Heap;
	readonly log: Log;
};

/** Starts the monitor of what open requests take of the heap of this process: V8 ends a process whose heap is full. */
export const startHeapMonitor = ({open, heap, log}: Options): HeapMonitor => {
	/** The most requests that this host keeps open; `undefined` without a limit. */
	let openLimit: number | undefined;

	const limit = (next: number | undefined): void => {
		if ((next === undefined) !== (openLimit === undefined)) {
			const {usedBytes, limitBytes} = heap.use();
			log(next === undefined ? 'heap_limit_ended' : 'heap_limit_began', {
				used_bytes: usedBytes, limit_bytes: limitBytes, open: open(), max_open: next,
			});
		}

		openLimit = next;
	};

	const close = heap.onCollected(() => {
		const {usedBytes, limitBytes} = heap.use();
		limit(planHeapLimit({
			liveBytes: usedBytes, maxLiveBytes: limitBytes * liveShare, open: open(), minOpen,
		}));
	});

	const isUsedUp = (): boolean => {
		const {usedBytes, limitBytes} = heap.use();
		return usedBytes > limitBytes * usedShare;
	};

	return {
		isFull() {
			// Until the next full collection, what requests leave that end is still used, so only their number tells that there is room again.
			if (openLimit === undefined && isUsedUp()) {
				limit(Math.max(minOpen, open() - 1));
			}

			return openLimit !== undefined && open() > openLimit;
		},
		close,
	};
};
