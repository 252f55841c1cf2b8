import {createGate} from './create-gate.js';
import type {FlowControl} from './flow-control.js';
import type {Intake} from './intake.js';

/** How many bytes are taken in before the first event may be relayed: beyond that, the endpoint waits. */
const maxHeldBytes = 64 * 1024;

/** How many bytes a chunk counts for beside its own: each is a task of its own, so that chunks of a few bytes cost more than their bytes. */
const chunkCostBytes = 64;

/** Creates the intake of one response. Nothing is relayed before `ready` is resolved. */
export const createIntake = (ready: Promise<void>, flow: FlowControl, relay: (chunk: Uint8Array) => void): Intake => {
	let heldBytes = 0;
	const gate = createGate(ready);

	return {
		take(chunk) {
			heldBytes += gate.isOpen() ? 0 : chunk.length + chunkCostBytes;
			gate.run(() => {
				relay(chunk);
			});
			if (!gate.isOpen() && heldBytes > maxHeldBytes) {
				flow.pause();
				gate.run(flow.resume);
			}
		},
		afterAll(task) {
			if (heldBytes === 0) {
				task();
			} else {
				gate.run(task);
			}
		},
	};
};
