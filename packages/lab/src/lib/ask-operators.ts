import got from 'got';
import type {EntryProcess} from './entry-process.js';

/** Reads from a host's operators' interface. */
export const askOperators = async <T>({operators}: EntryProcess, path: string, token: string): Promise<T> =>
	got(`${operators}${path}`, {headers: {authorization: `Bearer ${token}`}, throwHttpErrors: false}).json<T>();
