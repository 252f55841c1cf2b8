import {httpStatus} from '@deckwheel/core';

/** The statuses whose responses have no body, whatever their head says. */
const bodilessStatuses: ReadonlySet<number> = new Set([httpStatus.noContent, httpStatus.notModified]);

/** Whether a response has no body, whatever its head says (RFC 9112, section 6.3). Pure. */
export const isBodiless = (status: number, method: string): boolean => method === 'HEAD' || bodilessStatuses.has(status);
