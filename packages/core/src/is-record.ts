/** Whether a JSON value is an object with named fields. Pure. */
export const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null && !Array.isArray(value);
