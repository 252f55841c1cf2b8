import {EventEmitter, once} from 'node:events';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import Router from '@koa/router';
import Koa, {type Context, type Next} from 'koa';
import {serveStandIn} from './lib/serve-stand-in.js';
import {readJson} from './lib/read-json.js';
import type {StoreFaults} from './lib/store-faults.js';
import type {RunningStandIn} from './running-stand-in.js';

/** The longest that a watch is held, in ms. */
const watchTimeoutMs = 30_000;

/** The largest value that the platform takes, in bytes. */
const maxValueBytes = 1_048_576;

type Item = {readonly key: string; readonly version: number; readonly value: unknown};

/**
Starts a stand-in for the platform: object API, watches, lagging host list.

Its control door is `PUT /control/faults` (see `StoreFaults`), `PUT /control/hosts`
(the host list) and `GET /control/counts`. The wire format is in docs/protocols.md.
*/
export const startStore = async (port = 0): Promise<RunningStandIn> => {
	const items = new Map<string, Item>();
	const changes = new EventEmitter().setMaxListeners(0);
	const counts = {
		reads: 0, writes: 0, watches: 0, refused: 0,
	};
	let faults: StoreFaults = {
		isDown: false, delayMs: 0, loseAnswers: 0, callsPerSecond: 0,
	};
	let hosts: readonly unknown[] = [];
	let windowStart = 0;
	let windowCalls = 0;

	const changeOrEnd = async (key: string, signal: AbortSignal): Promise<void> => {
		try {
			await once(changes, key, {signal});
		} catch {
			// The watcher left, or its time is over.
		}
	};

	const isOverRate = (): boolean => {
		const now = Date.now();
		if (now - windowStart >= 1000) {
			windowStart = now;
			windowCalls = 0;
		}

		windowCalls++;
		return faults.callsPerSecond > 0 && windowCalls > faults.callsPerSecond;
	};

	const applyFaults = async (ctx: Context, next: Next): Promise<void> => {
		if (faults.isDown) {
			ctx.req.socket.destroy();
			return;
		}

		if (isOverRate()) {
			counts.refused++;
			ctx.status = 429;
			ctx.set('Retry-After', '1');
			return;
		}

		if (faults.delayMs > 0) {
			await delay(faults.delayMs);
		}

		await next();
	};

	const write = (key: string, value: unknown, ctx: Context): void => {
		const current = items.get(key)?.version ?? 0;
		const expected = ctx.get('if-none-match') === '*' ? 0 : Number(ctx.get('if-match'));
		if (JSON.stringify(value).length > maxValueBytes) {
			ctx.status = 413;
			return;
		}

		if (current !== expected) {
			ctx.status = 409;
			ctx.body = {version: current};
			return;
		}

		const item = {key, version: current + 1, value};
		items.set(key, item);
		changes.emit(key);
		ctx.body = item;
	};

	const data = new Router();
	data.use(applyFaults);
	data.get('/objects', ctx => {
		counts.reads++;
		const prefix = String(ctx.query.prefix ?? '');
		ctx.body = {items: [...items.values()].filter(({key}) => key.startsWith(prefix))};
	});
	data.get('/objects/:key', ctx => {
		counts.reads++;
		const item = items.get(ctx.params.key!);
		if (item) {
			ctx.body = item;
		}
	});
	data.put('/objects/:key', async ctx => {
		counts.writes++;
		const {value} = await readJson<{value: unknown}>(ctx);
		write(ctx.params.key!, value, ctx);
		if (faults.loseAnswers > 0 && ctx.status === 200) {
			faults = {...faults, loseAnswers: faults.loseAnswers - 1};
			ctx.req.socket.destroy();
		}
	});
	data.get('/watch/:key', async ctx => {
		counts.watches++;
		const key = ctx.params.key!;
		const after = Number(ctx.query.after ?? 0);
		const isNewer = (): boolean => (items.get(key)?.version ?? 0) > after;
		if (!isNewer()) {
			const abort = new AbortController();
			ctx.req.once('close', () => {
				abort.abort();
			});
			const timer = setTimeout(() => {
				abort.abort();
			}, watchTimeoutMs);
			await changeOrEnd(key, abort.signal);
			clearTimeout(timer);
		}

		ctx.status = 204;
		if (isNewer()) {
			ctx.body = items.get(key);
			ctx.status = 200;
		}
	});
	data.get('/hosts', ctx => {
		counts.reads++;
		ctx.body = {hosts};
	});

	const control = new Router({prefix: '/control'});
	control.put('/faults', async ctx => {
		faults = {...faults, ...await readJson<Partial<StoreFaults>>(ctx)};
		ctx.body = faults;
	});
	control.put('/hosts', async ctx => {
		({hosts} = await readJson<{hosts: readonly unknown[]}>(ctx));
		ctx.body = {hosts};
	});
	control.get('/counts', ctx => {
		ctx.body = {...counts, pid: process.pid};
	});

	const app = new Koa();
	app.use(control.routes());
	app.use(data.routes());
	return serveStandIn(app, port);
};
