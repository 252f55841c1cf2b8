/** Guards against a host that ends with its log, or whose log does not say that lines are missing. */
import {EventEmitter} from 'node:events';
import test from 'ava';
import {createLineLog} from '../create-line-log.js';

/** An output that fails while `error` is set. */
const createOutput = () => {
	const lines: string[] = [];
	const output = Object.assign(new EventEmitter(), {
		writableLength: 0,
		error: undefined as Error | undefined,
		write(text: string, onWritten: (error?: Error) => void) {
			if (output.error) {
				output.emit('error', output.error);
			} else {
				lines.push(text);
			}

			onWritten(output.error);
		},
	});
	return {output, lines};
};

test('an output that cannot be written ends the process, or the log does not count what it lost', t => {
	const {output, lines} = createOutput();
	const log = createLineLog('edge-1', output);
	output.error = new Error('write EPIPE');
	t.notThrows(() => {
		log('a');
		log('b');
	});
	output.error = undefined;
	log('c');
	log('d');
	t.is(lines.length, 2);
	t.regex(lines[0]!, /event=c dropped=2\n$/);
	t.regex(lines[1]!, /event=d\n$/);
});

test('each log of a process adds a listener to its output', t => {
	const {output} = createOutput();
	createLineLog('edge-1', output);
	createLineLog('edge-2', output);
	t.is(output.listenerCount('error'), 1);
});
