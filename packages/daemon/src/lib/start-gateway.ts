import {once} from 'node:events';
import {context as traceContext, propagation, SpanStatusCode} from '@opentelemetry/api';
import Router from '@koa/router';
import type {AdoptedBundle} from '@deckwheel/bundle';
import {parseJson, type Refusal} from '@deckwheel/core';
import type {Answer} from '@deckwheel/ledger';
import Koa, {type Context as KoaContext, type Next} from 'koa';
import type {Caller} from './caller.js';
import {chatJob} from './chat-job.js';
import {chatRequestSchema} from './chat-request-schema.js';
import type {ChatRequest} from './chat-request.js';
import type {Context} from './context.js';
import {createLiveStream} from './create-live-stream.js';
import {findCaller} from './find-caller.js';
import type {Gateway} from './gateway.js';
import {issueKey} from './issue-key.js';
import type {Job} from './job.js';
import {listen} from './listen.js';
import type {LiveStream} from './live-stream.js';
import {readBody} from './read-body.js';
import {readRequestOptions} from './read-request-options.js';
import type {RequestOptions} from './request-options.js';
import type {RunJob} from './run-job.js';
import {serviceJob} from './service-job.js';
import {statusOfRefusal} from './status-of-refusal.js';
import {toCompletion} from './to-completion.js';

type Options = {
	readonly bundle: () => AdoptedBundle | undefined;
	readonly runJob: RunJob;
	/** Halls that could claim a request of a budget, best first. Never empty. */
	readonly homes: (budget: string) => readonly string[];
};

/** A request that was let in. */
type Visit = {
	readonly adopted: AdoptedBundle;
	readonly caller: Caller;
	readonly options: RequestOptions;
	readonly body: string;
};

type Work = (ctx: KoaContext, visit: Visit) => Promise<Refusal | undefined>;

const stopping: Refusal = {
	code: 'stopping', message: 'This host is about to stop. Retry; another host will serve you.', ran: 'not_run', retryAfterSeconds: 1,
};
const notReady: Refusal = {
	code: 'not_ready', message: 'This host has no bundle yet. Retry; another host may serve you.', ran: 'not_run', retryAfterSeconds: 2,
};
const unauthorized: Refusal = {code: 'unauthorized', message: 'Send "Authorization: Bearer <API key>" with a key that your operator issued.', ran: 'not_run'};
const tooManyOpen: Refusal = {
	code: 'overloaded', message: 'This host has too many requests open.', ran: 'not_run', retryAfterSeconds: 1,
};
const badRequest = (message: string): Refusal => ({code: 'bad_request', message, ran: 'not_run'});

// A key that the caller presents may name a request that ran. Before its record was read, 'not run' would be a guess.
const beforeRecall = (ctx: KoaContext, refusal: Refusal): Refusal =>
	ctx.get('idempotency-key') === '' || refusal.code === 'bad_request' ? refusal : {...refusal, ran: 'unknown'};

const eventNumber = (event: string): number => Number(/^id: (?<id>\d+)$/m.exec(event)?.groups?.id ?? Infinity);

/** Opens the door for callers: chat completions, plain services, and issued keys. */
export const startGateway = async (context: Context, {bundle, runJob, homes}: Options): Promise<Gateway> => {
	const {settings, clock, log, metrics, tracing} = context;
	let open = 0;
	let isDraining = false;
	let onIdle: () => void = () => undefined;

	const refuse = (ctx: KoaContext, refusal: Refusal): void => {
		ctx.status = statusOfRefusal[refusal.code];
		if (refusal.retryAfterSeconds !== undefined) {
			ctx.set('Retry-After', String(refusal.retryAfterSeconds));
		}

		const {code, message, ran, retryAfterSeconds} = refusal;
		ctx.body = {
			error: {
				code, message, ran, retry_after_seconds: retryAfterSeconds,
			},
		};
		metrics.count('request.refused', {code});
	};

	const admit = async (ctx: KoaContext): Promise<Visit | Refusal> => {
		const adopted = bundle();
		if (!adopted) {
			return notReady;
		}

		const caller = findCaller(adopted, ctx.get('authorization'));
		if (!caller) {
			return unauthorized;
		}

		const options = readRequestOptions({
			header: name => ctx.get(name), bundle: adopted.bundle, home: homes(caller.budget)[0]!, caller, clock,
		});
		if (!options.ok) {
			return options.error;
		}

		const body = await readBody(ctx, adopted.bundle.limits.maxBodyBytes);
		return body.ok
			? {
				adopted, caller, options: options.value, body: body.value,
			}
			: body.error;
	};

	// A key that was issued just now is nobody's yet. If the hall that should claim it cannot, and
	// nothing was sent, a key of another hall serves as well. After a run whose outcome is unknown
	// it would not: the request could be run, and billed, under both keys.
	const workAtSomeHome = async (ctx: KoaContext, visit: Visit, work: Work): Promise<Refusal | undefined> => {
		const {caller, options} = visit;
		ctx.set('X-Request-Key', options.key.text);
		const first = await work(ctx, visit);
		const isUntouched = first?.code === 'claim_unavailable' && first.ran === 'not_run';
		if (!isUntouched || options.isKeyPresented) {
			return first;
		}

		const other = homes(caller.budget).find(hall => hall !== options.key.home);
		if (other === undefined) {
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
			const visit = await admit(ctx);
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

	// The answer goes out as it comes in. After its first byte, an error can only be told inside the stream.
	const relay = async (ctx: KoaContext, stream: LiveStream, result: Promise<Refusal | undefined>): Promise<void> => {
		const after = Number(ctx.get('last-event-id') || 0);
		const {res} = ctx;
		let next = 0;
		while (true) {
			if (next > 0 || stream.events.length > 0) {
				if (!res.headersSent) {
					ctx.respond = false;
					res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-key': String(ctx.response.get('X-Request-Key'))});
				}

				for (; next < stream.events.length; next++) {
					const event = stream.events[next]!;
					if (eventNumber(event) > after && !res.write(event)) {
						await Promise.race([once(res, 'drain'), once(res, 'close')]);
					}
				}
			}

			if (stream.isEnded) {
				break;
			}

			await stream.changed();
		}

		const refusal = await result;
		if (refusal && res.headersSent) {
			const {code, message, ran, retryAfterSeconds} = refusal;
			res.write(`event: error\ndata: ${JSON.stringify({
				error: {
					code, message, ran, retry_after_seconds: retryAfterSeconds,
				},
			})}\n\n`);
		}

		if (res.headersSent) {
			res.end();
		}
	};

	const readChat = (visit: Visit): ChatRequest | Refusal => {
		const document = parseJson(visit.body);
		if (document === undefined) {
			return badRequest('The body is not JSON.');
		}

		const parsed = chatRequestSchema.safeParse(document);
		if (!parsed.success) {
			const faults = parsed.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`);
			return badRequest(`The request is not a chat completion: ${faults.join('; ')}`);
		}

		return parsed.data;
	};

	const runToEnd = async (job: Job, stream: LiveStream): Promise<Refusal | undefined> => {
		try {
			return await runJob(job);
		} finally {
			stream.end();
		}
	};

	const chat = async (ctx: KoaContext, visit: Visit): Promise<Refusal | undefined> => {
		const body = readChat(visit);
		if ('code' in body && 'ran' in body) {
			return body as Refusal;
		}

		const request = body;
		const model = visit.adopted.bundle.models.find(({id}) => id === request.model);
		if (!model) {
			return {code: 'unknown_model', message: 'There is no such model. See GET /v1/models.', ran: 'not_run'};
		}

		const stream = createLiveStream();
		const job = chatJob({
			body: request, model, caller: visit.caller, options: visit.options, stream,
		});
		if (job.worstCase > model.maxPromptTokens + model.maxOutputTokens) {
			return badRequest(`The prompt is longer than the model's ${model.maxPromptTokens} tokens.`);
		}

		const result = runToEnd(job, stream);
		if (request.stream) {
			await relay(ctx, stream, result);
			return result;
		}

		const refusal = await result;
		if (!refusal) {
			ctx.body = toCompletion(stream.events.join(''), model.id);
		}

		return refusal;
	};

	const callService = async (ctx: KoaContext, visit: Visit): Promise<Refusal | undefined> => {
		const service = visit.adopted.bundle.services.find(({id}) => id === ctx.params.service);
		const path = `/${ctx.params.path ?? ''}`;
		const call = service?.calls.find(candidate => candidate.method === ctx.method && path.startsWith(candidate.path));
		if (!service || !call) {
			return {code: 'not_found', message: 'There is no such service or call in the bundle in force.', ran: 'not_run'};
		}

		let answer: Answer | undefined;
		const refusal = await runJob(serviceJob({
			service: service.id,
			call,
			method: ctx.method,
			path: `${path}${ctx.search}`,
			contentType: ctx.get('content-type'),
			body: visit.body,
			caller: visit.caller,
			options: visit.options,
			deliver(kept) {
				answer = kept;
			},
		}));
		if (answer) {
			ctx.status = answer.status;
			ctx.set('Content-Type', answer.contentType);
			ctx.body = answer.body;
		}

		return refusal;
	};

	const countOpen = async (ctx: KoaContext, next: Next): Promise<void> => {
		const limit = bundle()?.bundle.limits.maxOpenRequests ?? 0;
		if (isDraining) {
			refuse(ctx, beforeRecall(ctx, stopping));
			return;
		}

		if (open >= limit) {
			refuse(ctx, beforeRecall(ctx, bundle() ? tooManyOpen : notReady));
			return;
		}

		open++;
		try {
			await next();
		} finally {
			open--;
			if (open === 0) {
				onIdle();
			}
		}
	};

	const router = new Router();
	router.get('/healthz', ctx => {
		const isReady = bundle() !== undefined && !isDraining;
		ctx.status = isReady ? 200 : 503;
		ctx.body = {ready: isReady};
	});
	router.post('/v1/chat/completions', countOpen, handle(chat));
	router.all('/services/:service{/*path}', countOpen, handle(callService));
	router.post('/v1/keys', async ctx => {
		const adopted = bundle();
		const caller = adopted && findCaller(adopted, ctx.get('authorization'));
		if (!caller) {
			refuse(ctx, adopted ? unauthorized : notReady);
			return;
		}

		ctx.body = {key: issueKey(homes(caller.budget)[0]!, clock.wall()).text};
	});
	router.get('/v1/models', ctx => {
		ctx.body = {object: 'list', data: (bundle()?.bundle.models ?? []).map(({id}) => ({id, object: 'model'}))};
	});

	const app = new Koa();
	app.use(router.routes());
	const {server, port} = await listen(app, settings.listen.callers);
	return {
		port,
		open: () => open,
		async drain() {
			isDraining = true;
			if (open > 0) {
				await new Promise<void>(resolve => {
					onIdle = resolve;
				});
			}
		},
		async close() {
			server.closeIdleConnections();
			server.close();
			server.closeAllConnections();
			await once(server, 'close');
		},
	};
};
