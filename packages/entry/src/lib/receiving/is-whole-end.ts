import type {EndCheck} from '../response-ends/end-check.js';

/** Whether what ended a response says that it is whole. Pure. */
export const isWholeEnd = (end: 'stated' | EndCheck): boolean => end === 'stated' || end === 'confirmed';
