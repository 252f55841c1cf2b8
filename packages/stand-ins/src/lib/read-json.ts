import type {Context} from 'koa';
import getRawBody from 'raw-body';

/** Reads a request's JSON body; an empty body is an empty object. The callers trust its shape: this is a stand-in. */
export const readJson = async <T>(ctx: Context): Promise<T> => {
	const text = await getRawBody(ctx.req, {encoding: 'utf8', limit: '20mb'});
	return (text === '' ? {} : JSON.parse(text)) as T;
};
