import type {HostRefusal} from '../admission/host-refusal.js';

type Fields = Readonly<Record<string, string | number | undefined>>;

/** Logs the end of one request, and answers it where the host refuses. */
export type RequestLog = {
	readonly refused: (refusal: HostRefusal, fields?: Fields) => void;
	readonly answered: (status: number | undefined, fields: Fields) => void;
	readonly left: (fields: Fields) => void;
};
