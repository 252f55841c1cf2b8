import {setImmediate} from 'node:timers/promises';

/** Runs tasks in order: at once while it is open, and otherwise as soon as it opens, each in a turn of the event loop of its own. */
type Gate = {
	readonly isOpen: () => boolean;
	readonly run: (task: () => void) => void;
};

/** Creates a gate that opens once a promise is resolved, and stays open. */
export const createGate = (opened: Promise<void>): Gate => {
	let isOpen = false;
	let waiting: ReadonlyArray<() => void> = [];

	const open = async (): Promise<void> => {
		await opened;
		for (let [task] = waiting; task !== undefined; [task] = waiting) {
			waiting = waiting.slice(1);
			task();
			// What a task writes to a connection leaves the process before the next one, which may close the connection.
			await setImmediate();
		}

		isOpen = true;
	};

	void open();
	return {
		isOpen: () => isOpen,
		run(task) {
			if (isOpen) {
				task();
			} else {
				waiting = [...waiting, task];
			}
		},
	};
};
