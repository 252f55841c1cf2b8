/** Guards against runs for nobody: a host that was behind reads a request whose caller has left, and runs it although no caller knows its key. */
import {readFile} from 'node:fs/promises';
import {connect} from 'node:net';
import test from 'ava';
import got from 'got';
import {engineRuns} from '../lib/engine-runs.js';
import type {EntryProcess} from '../lib/entry-process.js';
import {eventually} from '../lib/eventually.js';
import {sendChat} from '../lib/send-chat.js';
import {startFleet} from '../lib/start-fleet.js';

/** The state of a connection of Linux whose other side has sent its end, in `/proc/net/tcp`. */
const closeWaitState = '08';

/** Whether the end of a caller's connection has arrived at a port, where it waits for a process to read it. */
const hasEndArrived = async (port: number): Promise<boolean> => {
	const table = await readFile('/proc/net/tcp', 'utf8');
	const local = `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
	return table.split('\n').map(line => line.trim().split(/\s+/)).some(([, address, , state]) => address?.endsWith(local) && state === closeWaitState);
};

/** Sends a chat request and closes the connection, both while the host's process is stopped. */
const callWhileStopped = async ({callers, child}: EntryProcess, apiKey: string, key?: string): Promise<void> => {
	child.kill('SIGSTOP');
	await eventually(async () => /^State:\tT/m.test(await readFile(`/proc/${child.pid}/status`, 'utf8')));
	const body = JSON.stringify({model: 'assistant', messages: [{role: 'user', content: 'Read this.'}], max_tokens: 5});
	const keyLine = key === undefined ? [] : [`idempotency-key: ${key}`];
	const head = ['POST /v1/chat/completions HTTP/1.1', 'host: fleet', `authorization: Bearer ${apiKey}`, `content-length: ${body.length}`, ...keyLine, '', ''].join('\r\n');
	const port = Number(new URL(callers).port);
	connect(port, '127.0.0.1').end(head + body);
	await eventually(async () => hasEndArrived(port));
	child.kill('SIGCONT');
};

test('a request whose caller has left runs, and no caller knows its key', async t => {
	const fleet = await startFleet({halls: {'hall-a': 1}});
	t.teardown(fleet.close);
	const [entry] = fleet.entries;
	await callWhileStopped(entry!, fleet.apiKey);
	await entry!.logged('code=caller_left');
	t.deepEqual(await engineRuns(fleet.engines), []);
	const {isWhole} = await sendChat(entry!.callers, {prompt: 'Read this.', apiKey: fleet.apiKey});
	t.true(isWhole);
});

test('a caller that left comes back with its key, and its request has not run', async t => {
	const fleet = await startFleet({halls: {'hall-a': 1}});
	t.teardown(fleet.close);
	const [entry] = fleet.entries;
	const {key} = await got.post(`${entry!.callers}/v1/keys`, {headers: {authorization: `Bearer ${fleet.apiKey}`}}).json<{key: string}>();
	await callWhileStopped(entry!, fleet.apiKey, key);
	const runs = await eventually(async () => {
		const begun = await engineRuns(fleet.engines);
		return begun.length > 0 && begun;
	});
	t.is(runs.length, 1);
});
