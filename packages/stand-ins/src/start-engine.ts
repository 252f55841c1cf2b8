import {EventEmitter, once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {prefixBlocks} from '@deckwheel/core';
import Router from '@koa/router';
import Koa, {type Context, type Next} from 'koa';
import {LRUCache} from 'lru-cache';
import type {EngineFaults} from './lib/engine-faults.js';
import type {EngineStream} from './lib/engine-stream.js';
import {serveStandIn} from './lib/serve-stand-in.js';
import {readJson} from './lib/read-json.js';
import type {EngineOptions} from './engine-options.js';
import type {RunningStandIn} from './running-stand-in.js';

/** Ended streams are kept this long, so that they can be resumed. */
const keepEndedMs = 60_000;

/** Blocks of the prefix cache. */
const cachedBlocks = 4096;

/** Characters that count as a token. */
const charsPerToken = 4;

/** Every so many-th cache event is left out, as engines lose some. */
const cacheEventGap = 7;

/**
Starts a stand-in for a model engine: a set pace, a limit of slots, priorities,
a prefix cache, resume, cancel, lagging load reports, late cache events with gaps.

The answer to a prompt is made from the prompt, so that a caller can tell its own answer.
Its control door is `PUT /control/faults` (see `EngineFaults`) and `GET /control/streams`.
*/
export const startEngine = async ({port = 0, slots = 8, checksSendBy = true, ...pace}: EngineOptions = {}): Promise<RunningStandIn> => {
	let faults: EngineFaults = {
		isDown: false, refuses: false, breakAfter: 0, msPerToken: 5, msPerPromptToken: 0, reportLagMs: 100, ...pace,
	};
	const streams = new Map<string, EngineStream>();
	const runs: Array<{readonly id: string; readonly served: () => number}> = [];
	const waiting: EngineStream[] = [];
	const cache = new LRUCache<number, true>({max: cachedBlocks});
	const cacheEvents: number[] = [];
	let running = 0;
	let report = {running: 0, queued: 0};

	const cachedTokens = (blocks: readonly number[]): number =>
		blocks.filter(block => cache.has(block)).length * (64 / charsPerToken);

	const cachePrompt = (blocks: readonly number[]): void => {
		for (const block of blocks) {
			if (!cache.has(block)) {
				cache.set(block, true);
				cacheEvents.push(block);
			}
		}
	};

	const end = (stream: EngineStream, state: 'finished' | 'cancelled'): void => {
		stream.state = state;
		stream.events.emit('change');
		setTimeout(() => streams.delete(stream.id), keepEndedMs).unref();
	};

	const generate = async (stream: EngineStream): Promise<void> => {
		const blocks = prefixBlocks(stream.prompt);
		const uncached = Math.max(0, stream.promptTokens - cachedTokens(blocks));
		cachePrompt(blocks);
		await delay(uncached * faults.msPerPromptToken);
		while (stream.tokens.length < stream.wanted && stream.state === 'running') {
			await delay(faults.msPerToken);
			const at = stream.tokens.length % Math.max(1, stream.prompt.length);
			stream.tokens.push(`${stream.prompt.slice(at, at + 1) || '.'}${stream.tokens.length} `);
			stream.events.emit('change');
		}

		if (stream.state === 'running') {
			end(stream, 'finished');
		}
	};

	const occupySlot = async (stream: EngineStream): Promise<void> => {
		stream.state = 'running';
		running++;
		await generate(stream);
		running--;
		fill();
	};

	const fill = (): void => {
		const [best] = waiting.toSorted((a, b) => a.priority - b.priority);
		if (!best || running >= slots) {
			return;
		}

		waiting.splice(waiting.indexOf(best), 1);
		void occupySlot(best);
		fill();
	};

	const chunk = (stream: EngineStream, index: number): string => {
		const choice = {index: 0, delta: {content: stream.tokens[index]}, finish_reason: null};
		return `id: ${index + 1}\ndata: ${JSON.stringify({id: stream.id, object: 'chat.completion.chunk', choices: [choice]})}\n\n`;
	};

	const closing = (stream: EngineStream): string => {
		const usage = {prompt_tokens: stream.promptTokens, completion_tokens: stream.tokens.length, total_tokens: stream.promptTokens + stream.tokens.length};
		const choice = {index: 0, delta: {}, finish_reason: stream.state === 'finished' ? 'stop' : 'cancelled'};
		return `id: ${stream.tokens.length + 1}\ndata: ${JSON.stringify({
			id: stream.id, object: 'chat.completion.chunk', choices: [choice], usage,
		})}\n\ndata: [DONE]\n\n`;
	};

	const relay = async (ctx: Context, stream: EngineStream, after: number): Promise<void> => {
		ctx.respond = false;
		const {res} = ctx;
		res.writeHead(200, {'content-type': 'text/event-stream', 'x-prompt-tokens': String(stream.promptTokens)});
		res.flushHeaders();
		let sent = after;
		while (!res.destroyed) {
			while (sent < stream.tokens.length) {
				res.write(chunk(stream, sent++));
				if (faults.breakAfter > 0 && sent >= faults.breakAfter) {
					end(stream, 'cancelled');
					res.destroy();
					return;
				}
			}

			if (stream.state === 'finished' || stream.state === 'cancelled') {
				res.end(closing(stream));
				return;
			}

			await once(stream.events, 'change');
		}
	};

	const open = async (ctx: Context): Promise<EngineStream | undefined> => {
		const body = await readJson<{messages?: ReadonlyArray<{content: string}>; max_tokens?: number}>(ctx);
		const id = ctx.get('x-stream-id');
		const sendBy = Number(ctx.get('x-send-by') || Infinity);
		if (streams.has(id)) {
			ctx.status = 409;
			return undefined;
		}

		if (faults.refuses || (checksSendBy && Date.now() > sendBy)) {
			ctx.status = 503;
			ctx.set('x-not-run', 'true');
			return undefined;
		}

		const prompt = (body.messages ?? []).map(message => message.content).join('\n');
		const stream: EngineStream = {
			id,
			prompt,
			wanted: body.max_tokens ?? 16,
			priority: Number(ctx.get('x-priority') || 1),
			promptTokens: Math.ceil(prompt.length / charsPerToken),
			tokens: [],
			events: new EventEmitter().setMaxListeners(0),
			state: 'queued',
		};
		streams.set(id, stream);
		runs.push({id, served: () => stream.tokens.length === 0 && stream.state === 'queued' ? 0 : stream.promptTokens + stream.tokens.length});
		waiting.push(stream);
		fill();
		return stream;
	};

	const router = new Router();
	router.use(async (ctx: Context, next: Next) => {
		if (faults.isDown) {
			ctx.req.socket.destroy();
			return;
		}

		await next();
	});
	router.post('/v1/chat/completions', async ctx => {
		const stream = await open(ctx);
		if (stream) {
			await relay(ctx, stream, 0);
		}
	});
	router.get('/v1/streams/:id', async ctx => {
		const stream = streams.get(ctx.params.id!);
		if (stream) {
			await relay(ctx, stream, Number(ctx.query.after ?? 0));
		}
	});
	router.post('/v1/streams/:id/cancel', ctx => {
		const stream = streams.get(ctx.params.id!);
		if (!stream) {
			return;
		}

		if (stream.state === 'queued') {
			waiting.splice(waiting.indexOf(stream), 1);
		}

		if (stream.state !== 'finished') {
			end(stream, 'cancelled');
		}

		ctx.body = {state: stream.state};
	});
	router.get('/load', async ctx => {
		ctx.body = {...report, slots};
	});
	router.get('/cache-events', ctx => {
		const after = Number(ctx.query.after ?? 0);
		const events = cacheEvents.slice(after).filter((_, index) => (after + index) % cacheEventGap !== 0);
		ctx.body = {next: cacheEvents.length, blocks: events};
	});

	const control = new Router({prefix: '/control'});
	control.put('/faults', async ctx => {
		faults = {...faults, ...await readJson<Partial<EngineFaults>>(ctx)};
		ctx.body = faults;
	});
	control.get('/streams', ctx => {
		ctx.body = {streams: runs.map(({id, served}) => ({id, served: served()}))};
	});

	const takeReport = (): void => {
		report = {running, queued: waiting.length};
		timer = setTimeout(takeReport, faults.reportLagMs);
	};

	let timer = setTimeout(takeReport, faults.reportLagMs);
	const app = new Koa();
	app.use(control.routes());
	app.use(router.routes());
	const standIn = await serveStandIn(app, port);
	return {
		url: standIn.url,
		async close() {
			clearTimeout(timer);
			await standIn.close();
		},
	};
};
