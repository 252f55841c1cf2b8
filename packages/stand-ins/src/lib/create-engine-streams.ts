import {setTimeout as delay} from 'node:timers/promises';
import {prefixBlocks} from '@deckwheel/core';
import {createEngineSlots} from './create-engine-slots.js';
import {createPromptCache} from './create-prompt-cache.js';
import type {EngineFaults} from './engine-faults.js';
import type {EngineStream} from './engine-stream.js';
import type {EngineStreams} from './engine-streams.js';

/** Ended streams are kept this long, in ms, so that they can be resumed. */
const keepEndedMs = 60_000;

const tokenAt = ({prompt, tokens}: EngineStream): string => {
	const at = tokens.length % Math.max(1, prompt.length);
	return `${prompt.slice(at, at + 1) || '.'}${tokens.length} `;
};

const servedTokens = ({tokens, state, promptTokens}: EngineStream): number =>
	tokens.length === 0 && state === 'queued' ? 0 : promptTokens + tokens.length;

/** Creates an engine without streams, with so many slots, at the pace that `pace` tells at each moment. */
export const createEngineStreams = (slots: number, pace: () => Pick<EngineFaults, 'msPerToken' | 'msPerPromptToken'>): EngineStreams => {
	const streams = new Map<string, EngineStream>();
	const started: EngineStream[] = [];
	const cache = createPromptCache();

	const end = (stream: EngineStream, state: 'finished' | 'cancelled'): void => {
		stream.state = state;
		stream.events.emit('change');
		setTimeout(() => streams.delete(stream.id), keepEndedMs).unref();
	};

	const generate = async (stream: EngineStream): Promise<void> => {
		const blocks = prefixBlocks(stream.prompt);
		const uncached = Math.max(0, stream.promptTokens - cache.cachedTokens(blocks));
		cache.note(blocks);
		await delay(uncached * pace().msPerPromptToken);
		while (stream.tokens.length < stream.wanted && stream.state === 'running') {
			await delay(pace().msPerToken);
			stream.tokens.push(tokenAt(stream));
			stream.events.emit('change');
		}

		if (stream.state === 'running') {
			end(stream, 'finished');
		}
	};

	const places = createEngineSlots(slots, generate);
	return {
		get: id => streams.get(id),
		start(stream) {
			streams.set(stream.id, stream);
			started.push(stream);
			places.enter(stream);
		},
		cancel(stream) {
			if (stream.state === 'queued') {
				places.leave(stream);
			}

			if (stream.state !== 'finished') {
				end(stream, 'cancelled');
			}
		},
		breakOff(stream) {
			end(stream, 'cancelled');
		},
		load: places.load,
		cacheEventsAfter: cache.eventsAfter,
		served: () => started.map(stream => ({id: stream.id, served: servedTokens(stream)})),
	};
};
