/** Guards against signals that end a process, or are lost, since no part of it acts on them yet. */
import {EventEmitter} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {receiveSignals} from '../receive-signals.js';

test('a signal that came before its listener is lost, or reaches it twice', t => {
	const owner = new EventEmitter();
	const signals = receiveSignals(owner, 'SIGTERM', 'SIGHUP');
	const calls: string[] = [];
	// `emit` returns whether there is a listener: without one, the signal would end the process.
	t.true(owner.emit('SIGHUP'));
	t.true(owner.emit('SIGHUP'));
	signals.on('SIGTERM', () => {
		calls.push('term');
	});
	t.deepEqual(calls, []);
	signals.on('SIGHUP', () => {
		calls.push('hup');
	});
	t.deepEqual(calls, ['hup']);
	owner.emit('SIGHUP');
	owner.emit('SIGTERM');
	t.deepEqual(calls, ['hup', 'hup', 'term']);
});

test('a signal that is held reaches the listener before, or not the next one', t => {
	const owner = new EventEmitter();
	const signals = receiveSignals(owner, 'SIGTERM');
	const calls: string[] = [];
	signals.on('SIGTERM', () => {
		calls.push('first');
	});
	signals.hold('SIGTERM');
	t.true(owner.emit('SIGTERM'));
	t.deepEqual(calls, []);
	signals.on('SIGTERM', () => {
		calls.push('second');
	});
	t.deepEqual(calls, ['second']);
});

test('a signal that was held counts as sent when it reached its listener, or when it came again', async t => {
	const owner = new EventEmitter();
	const signals = receiveSignals(owner, 'SIGTERM');
	const instants: number[] = [];
	owner.emit('SIGTERM');
	const cameAt = performance.now();
	// Longer than the interval at which polls are noted.
	await sleep(300);
	owner.emit('SIGTERM');
	signals.on('SIGTERM', sentAfter => {
		instants.push(sentAfter);
	});
	t.is(instants.length, 1);
	t.true(instants[0]! <= cameAt);
});
