import type {IncomingMessage} from 'node:http';

/** Tells why a response counts as broken: the code of what failed, `partial_event` where its last event is not whole, or `closed`. */
export const breakReasonOf = ({errored, complete}: Pick<IncomingMessage, 'errored' | 'complete'>): string => {
	if (errored) {
		return (errored as NodeJS.ErrnoException).code ?? errored.message;
	}

	return complete ? 'partial_event' : 'closed';
};
