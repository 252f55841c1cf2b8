import {once} from 'node:events';
import {context as traceContext, propagation, SpanStatusCode} from '@opentelemetry/api';
import Router from '@koa/router';
import type {AdoptedBundle} from '@deckwheel/bundle';
import {type Refusal, refusalBody, httpStatus} from '@deckwheel/core';
import Koa, {type Context as KoaContext, type Next} from 'koa';
import type {Context} from '../process/context.js';
import {serveApp} from '../process/serve-app.js';
import type {RunJob} from '../running/run-job.js';
import {admitVisit} from './admit-visit.js';
import {findCaller} from './find-caller.js';
import {beforeRecall} from './before-recall.js';
import {createChatWork} from './create-chat-work.js';
import {createOpenRequests} from './create-open-requests.js';
import {createServiceWork} from './create-service-work.js';
import {gatewayRefusals} from './gateway-refusals.js';
import {mayChangeHome} from './may-change-home.js';
import type {Visit} from './visit.js';
import type {Work} from './work.js';
import type {Gateway} from './gateway.js';
import {issueKey} from './issue-key.js';
import {statusOfRefusal} from './status-of-refusal.js';

type Options = {
	readonly bundle: () => AdoptedBundle | undefined;
	readonly runJob: RunJob;
	/** Halls that could claim a request of a budget, best first. Never empty. */
	readonly homes: (budget: string) => readonly string[];
};

/** Serves callers: chat completions, plain services, and issued keys. */
export const startGateway = async (context: Context, {bundle, runJob, homes}: Options): Promise<Gateway> => {
	const {settings, clock, log, metrics, tracing} = context;
	const openRequests = createOpenRequests();
	let isDraining = false;

	const refuse = (ctx: KoaContext, refusal: Refusal): void => {
		ctx.status = statusOfRefusal[refusal.code];
		if (refusal.retryAfterSeconds !== undefined) {
			ctx.set('Retry-After', String(refusal.retryAfterSeconds));
		}

		ctx.body = refusalBody(refusal);
		metrics.count('request.refused', {code: refusal.code});
	};

	const workAtSomeHome = async (ctx: KoaContext, visit: Visit, work: Work): Promise<Refusal | undefined> => {
		const {caller, options} = visit;
		ctx.set('X-Request-Key', options.key.text);
		const first = await work(ctx, visit);
		const other = homes(caller.budget).find(hall => hall !== options.key.home);
		if (other === undefined || !mayChangeHome(first, options.isKeyPresented)) {
			return first;
		}

		metrics.count('request.rehomed', {from: options.key.home, to: other});
		const key = issueKey(other, clock.wall());
		ctx.set('X-Request-Key', key.text);
		return work(ctx, {...visit, options: {...options, key}});
	};

	const handle = (work: Work) => async (ctx: KoaContext): Promise<void> => {
		const parent = propagation.extract(traceContext.active(), ctx.headers);
		await tracing.tracer.startActiveSpan('request', {}, parent, async span => {
			const startedAt = clock.monotonic();
			const visit = await admitVisit(ctx, {adopted: bundle(), homes, clock});
			const isAdmitted = 'caller' in visit;
			const refusal = isAdmitted ? await workAtSomeHome(ctx, visit, work) : beforeRecall(ctx, visit);
			if (refusal && !ctx.res.headersSent) {
				refuse(ctx, refusal);
			}

			const ms = clock.monotonic() - startedAt;
			metrics.timing('request.ms', ms, {code: refusal?.code ?? 'ok'});
			span.setAttributes({'deckwheel.code': refusal?.code ?? 'ok', 'deckwheel.host': settings.host});
			if (refusal) {
				span.setStatus({code: SpanStatusCode.ERROR, message: refusal.code});
			}

			log('info', 'request_ended', {
				path: ctx.path,
				key: isAdmitted ? visit.options.key.text : undefined,
				organisation: isAdmitted ? visit.caller.organisation : undefined,
				code: refusal?.code ?? 'ok',
				ran: refusal?.ran,
				ms: Math.round(ms),
				trace: span.spanContext().traceId,
			});
			span.end();
		});
	};

	const countOpen = async (ctx: KoaContext, next: Next): Promise<void> => {
		const limit = bundle()?.bundle.limits.maxOpenRequests ?? 0;
		if (isDraining) {
			refuse(ctx, beforeRecall(ctx, gatewayRefusals.stopping));
			return;
		}

		if (openRequests.count() >= limit) {
			refuse(ctx, beforeRecall(ctx, bundle() ? gatewayRefusals.tooManyOpen : gatewayRefusals.notReady));
			return;
		}

		await openRequests.during(next);
	};

	const router = new Router();
	router.get('/healthz', ctx => {
		const isReady = bundle() !== undefined && !isDraining;
		ctx.status = isReady ? httpStatus.ok : httpStatus.serviceUnavailable;
		ctx.body = {ready: isReady};
	});
	router.post('/v1/chat/completions', countOpen, handle(createChatWork(runJob)));
	router.all('/services/:service{/*path}', countOpen, handle(createServiceWork(runJob)));
	router.post('/v1/keys', async ctx => {
		const adopted = bundle();
		const caller = adopted && findCaller(adopted, ctx.get('authorization'));
		if (!caller) {
			refuse(ctx, adopted ? gatewayRefusals.unauthorized : gatewayRefusals.notReady);
			return;
		}

		ctx.body = {key: issueKey(homes(caller.budget)[0]!, clock.wall()).text};
	});
	router.get('/v1/models', ctx => {
		ctx.body = {object: 'list', data: (bundle()?.bundle.models ?? []).map(({id}) => ({id, object: 'model'}))};
	});

	const app = new Koa();
	app.use(router.routes());
	const {server, port, stopListening} = await serveApp(app, {address: settings.listen.callers, log});
	return {
		port,
		open: openRequests.count,
		async drain() {
			isDraining = true;
			await openRequests.idle();
		},
		async close() {
			const closed = once(server, 'close');
			server.closeIdleConnections();
			stopListening();
			server.closeAllConnections();
			await closed;
		},
	};
};
