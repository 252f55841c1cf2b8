import {setTimeout as delay} from 'node:timers/promises';
import Router from '@koa/router';
import Koa from 'koa';
import getRawBody from 'raw-body';
import {serveStandIn} from './lib/serve-stand-in.js';
import {readJson} from './lib/read-json.js';
import type {RunningStandIn} from './running-stand-in.js';

/**
Starts a stand-in for a plain service. It counts runs by the request's key.

`PUT /control/faults` takes `{delayMs, loseAnswers, isDown}`; `GET /control/runs` tells the runs by key.
*/
export const startService = async (port = 0): Promise<RunningStandIn> => {
	const runs = new Map<string, number>();
	let faults = {delayMs: 0, loseAnswers: 0, isDown: false};
	const control = new Router({prefix: '/control'});
	control.put('/faults', async ctx => {
		faults = {...faults, ...await readJson<Partial<typeof faults>>(ctx)};
		ctx.body = faults;
	});
	control.get('/runs', ctx => {
		ctx.body = {runs: Object.fromEntries(runs)};
	});
	const app = new Koa();
	app.use(control.routes());
	app.use(async ctx => {
		if (faults.isDown) {
			ctx.req.socket.destroy();
			return;
		}

		const key = ctx.get('x-request-key');
		runs.set(key, (runs.get(key) ?? 0) + 1);
		const body = await getRawBody(ctx.req, {encoding: 'utf8', limit: '20mb'});
		await delay(faults.delayMs);
		if (faults.loseAnswers > 0) {
			faults = {...faults, loseAnswers: faults.loseAnswers - 1};
			ctx.req.socket.destroy();
			return;
		}

		ctx.body = {
			key, method: ctx.method, path: ctx.path, echo: body,
		};
	});
	return serveStandIn(app, port);
};
