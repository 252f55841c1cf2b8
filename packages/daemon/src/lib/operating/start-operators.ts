import {once} from 'node:events';
import {createHash} from 'node:crypto';
import {httpStatus} from '@deckwheel/core';
import Router from '@koa/router';
import {ranStateOf, slotOfBudget} from '@deckwheel/ledger';
import Koa, {type Context as KoaContext, type Next} from 'koa';
import type {AskSlot} from '../slots/ask-slot.js';
import type {Context} from '../process/context.js';
import type {Gateway} from '../gateway/gateway.js';
import {serveApp} from '../process/serve-app.js';
import type {MembershipTask} from '../membership/membership-task.js';
import {readKey} from '../gateway/reading/read-key.js';
import type {RouterTask} from '../placing/router-task.js';
import type {SlotsTask} from '../slots/slots-task.js';
import type {BundleTask} from './bundle-task.js';
import {describeBudget} from './describe-budget.js';
import {describeHost} from './describe-host.js';

/** How long another host may take to answer for an operator, in ms. */
const askMs = 3000;

type Options = {
	readonly slots: SlotsTask;
	readonly membership: MembershipTask;
	readonly bundle: BundleTask;
	readonly router: RouterTask;
	readonly gateway: Gateway;
	readonly askSlot: AskSlot;
	/** Begins a planned stop of this host. */
	readonly drain: () => void;
};

/** Serves operators: status, budgets, explanations, drain. */
export const startOperators = async (context: Context, options: Options) => {
	const {settings, clock, log} = context;
	const {bundle, askSlot, drain} = options;

	const authorize = async (ctx: KoaContext, next: Next): Promise<void> => {
		const token = /^Bearer (?<token>\S+)$/.exec(ctx.get('authorization'))?.groups?.token ?? '';
		const sha256 = createHash('sha256').update(token).digest('hex');
		if (!settings.operators.some(operator => operator.sha256 === sha256)) {
			ctx.status = httpStatus.unauthorized;
			ctx.body = {error: {code: 'unauthorized', message: 'Send an operator\'s token that the settings of this host know.'}};
			return;
		}

		await next();
	};

	const routes = new Router();
	routes.use(authorize);
	routes.get('/status', ctx => {
		ctx.body = describeHost(context, options);
	});
	routes.get('/budgets/:budget', ctx => {
		ctx.body = describeBudget(ctx.params.budget!, context, options);
	});
	routes.get('/requests/:budget/:key', async ctx => {
		const {budget, key} = ctx.params;
		const halls = (bundle.current()?.bundle.halls ?? []).map(({id}) => id);
		const parsed = readKey(key!, halls);
		const slot = slotOfBudget(budget!, settings.slots);
		const reply = parsed && await askSlot(parsed.home, slot, {type: 'lookup', budget: budget!, key: key!}, clock.monotonic() + askMs);
		if (!reply?.ok || reply.value.type !== 'found') {
			ctx.status = httpStatus.serviceUnavailable;
			ctx.body = {error: {code: 'claim_unavailable', message: 'The hall that keeps the record of this key cannot be reached now.'}};
			return;
		}

		const {claim} = reply.value;
		if (!claim) {
			ctx.status = httpStatus.notFound;
			ctx.body = {error: {code: 'not_found', message: 'There is no record of this key under this budget.'}};
			return;
		}

		const {answer, ...rest} = claim;
		ctx.body = {
			...rest, home: parsed!.home, ran: ranStateOf(claim), hasAnswer: answer !== undefined,
		};
	});
	routes.post('/drain', ctx => {
		drain();
		ctx.status = 202;
		ctx.body = {state: 'leaving'};
	});

	const app = new Koa();
	app.use(routes.routes());
	const {server, port, stopListening} = await serveApp(app, {address: settings.listen.operators, log});
	return {
		port,
		async close() {
			const closed = once(server, 'close');
			stopListening();
			server.closeAllConnections();
			await closed;
		},
	};
};
