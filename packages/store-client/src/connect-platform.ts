import {fail, succeed, type Result} from '@deckwheel/core';
import got, {RequestError, type Got, type Response} from 'got';
import {z} from 'zod';
import type {ListedHost} from './listed-host.js';
import type {Platform} from './platform.js';
import type {StoreError} from './store-error.js';
import type {StoredObject} from './stored-object.js';

/** The platform answers in milliseconds; a call that takes longer than this is given up on. */
const callTimeoutMs = 2000;

/** Somewhat above the time after which the platform ends a waiting watch. */
const watchTimeoutMs = 40_000;

const objectSchema = z.object({key: z.string(), version: z.number(), value: z.unknown()});
const listSchema = z.object({items: z.array(objectSchema)});
const hostsSchema = z.object({
	hosts: z.array(z.object({
		host: z.string(), hall: z.string(), address: z.string(), state: z.enum(['live', 'leaving']),
	})),
});

/** Connection errors that prove that the platform never saw the request. */
const neverSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

const errorOfStatus = (status: number): StoreError => {
	switch (status) {
		case 409:
		case 412: {
			return 'conflict';
		}

		case 204:
		case 404: {
			return 'missing';
		}

		case 429: {
			return 'unavailable';
		}

		default: {
			return 'unknown';
		}
	}
};

const errorOfException = (error: unknown): StoreError =>
	error instanceof RequestError && neverSentCodes.has(error.code) ? 'unavailable' : 'unknown';

const readBody = <T>(response: Response, schema: z.ZodType<T>): Result<T, StoreError> => {
	if (response.statusCode !== 200) {
		return fail(errorOfStatus(response.statusCode));
	}

	const parsed = schema.safeParse(response.body);
	return parsed.success ? succeed(parsed.data) : fail('unknown');
};

const call = async <T>(request: () => Promise<Response>, schema: z.ZodType<T>): Promise<Result<T, StoreError>> => {
	try {
		return readBody(await request(), schema);
	} catch (error) {
		return fail(errorOfException(error));
	}
};

const pathOf = (key: string): string => `objects/${encodeURIComponent(key)}`;

const conditionOf = (expected: number): Readonly<Record<string, string>> =>
	expected === 0 ? {'if-none-match': '*'} : {'if-match': String(expected)};

const createClient = (url: string): Got => got.extend({
	prefixUrl: url,
	responseType: 'json',
	throwHttpErrors: false,
	retry: {limit: 0},
	timeout: {request: callTimeoutMs},
});

/**
Connects to the platform's HTTP interface (see docs/protocols.md).

@param url Where it is, such as `http://10.0.0.1:8000`.
*/
export const connectPlatform = (url: string): Platform => {
	const client = createClient(url);
	return {
		get: async key => call<StoredObject>(async () => client.get(pathOf(key)), objectSchema),
		async list(prefix) {
			const outcome = await call(async () => client.get('objects', {searchParams: {prefix}}), listSchema);
			return outcome.ok ? succeed(outcome.value.items) : outcome;
		},
		put: async (key, value, expected) => call<StoredObject>(
			async () => client.put(pathOf(key), {json: {value}, headers: conditionOf(expected)}),
			objectSchema,
		),
		watch: async (key, after, signal) => call<StoredObject>(
			async () => client.get(`watch/${encodeURIComponent(key)}`, {searchParams: {after}, signal, timeout: {request: watchTimeoutMs}}),
			objectSchema,
		),
		async hosts() {
			const outcome = await call<{hosts: ListedHost[]}>(async () => client.get('hosts'), hostsSchema);
			return outcome.ok ? succeed(outcome.value.hosts) : outcome;
		},
	};
};
