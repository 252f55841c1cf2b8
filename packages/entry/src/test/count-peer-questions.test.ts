import test from 'ava';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {LinkError} from '@deckwheel/mesh';
import {countPeerQuestions} from '../lib/peers/count-peer-questions.js';

test('questions are counted by type and end, and how long a link was quiet is kept only of those without an answer', async t => {
	const outcomes: Array<Result<unknown, LinkError>> = [succeed({}), fail('unknown'), fail('unreachable')];
	const quiet = [90_000, 300.4, undefined];
	const counts: Record<string, number> = {};
	const mesh = countPeerQuestions({
		port: 0, request: async () => outcomes.shift()!, send: () => undefined, quietMs: () => quiet.shift(), close: async () => undefined,
	}, {
		increment(name) {
			counts[name] = (counts[name] ?? 0) + 1;
		},
		recordMax(name, value) {
			counts[name] = Math.max(counts[name] ?? 0, value);
		},
	});
	for (const type of ['lend', 'lend', 'news']) {
		await mesh.request('10.0.0.1:1', {type}, 100);
	}

	t.deepEqual(counts, {
		'lend:answered': 1, 'lend:unknown': 1, 'news:unreachable': 1, quietest_ms: 300,
	});
});
