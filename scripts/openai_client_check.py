"""Checks that an unmodified OpenAI client can read responses and errors through an entry."""

import sys

import openai


def expect(name, condition, seen):
    print(f"{'ok  ' if condition else 'FAIL'} {name}: {seen}")
    return condition


def raised(call):
    try:
        call()
    except openai.APIError as e:
        return e
    return None


def main(entry, key, model):
    client = openai.OpenAI(base_url=f"{entry}/v1", api_key=key, max_retries=0)
    stranger = openai.OpenAI(base_url=f"{entry}/v1", api_key="wrong", max_retries=0)
    prompt = "spine lettering " * 64
    messages = [{"role": "user", "content": prompt}]
    results = []

    whole = client.completions.create(model=model, prompt=prompt, max_tokens=16)
    text = whole.choices[0].text
    results.append(expect("whole completion", len(text.split()) == 16, text[:40]))
    results.append(expect("usage", whole.usage.completion_tokens == 16, whole.usage))

    stream = client.completions.create(model=model, prompt=prompt, max_tokens=16, stream=True)
    streamed = "".join(chunk.choices[0].text for chunk in stream)
    results.append(expect("streamed completion equals the whole", streamed == text, streamed[:40]))

    chat = client.chat.completions.create(model=model, messages=messages, max_tokens=16)
    content = chat.choices[0].message.content
    results.append(expect("whole chat", len(content.split()) == 16, content[:40]))

    stream = client.chat.completions.create(
        model=model, messages=messages, max_tokens=16, stream=True
    )
    parts = [c.choices[0].delta.content or "" for c in stream if c.choices]
    results.append(expect("streamed chat equals the whole", "".join(parts) == content, parts[:4]))

    names = [m.id for m in client.models.list()]
    results.append(expect("models", model in names, names))

    e = raised(lambda: stranger.completions.create(model=model, prompt="x", max_tokens=1))
    seen = (type(e).__name__, getattr(e, "code", None))
    results.append(expect("wrong key", seen == ("AuthenticationError", "invalid_api_key"), seen))

    e = raised(lambda: client.completions.create(model="no-such", prompt="x", max_tokens=1))
    seen = (type(e).__name__, getattr(e, "code", None))
    results.append(expect("unknown model", seen == ("NotFoundError", "model_not_found"), seen))

    long = "x" * (4 * 1_200_000)
    e = raised(lambda: client.completions.create(model=model, prompt=long, max_tokens=1))
    seen = (type(e).__name__, getattr(e, "code", None))
    results.append(
        expect("prompt too long", seen == ("BadRequestError", "context_length_exceeded"), seen)
    )

    e = raised(lambda: client.post("/completions", cast_to=object, body={"model": 7}))
    seen = (type(e).__name__, getattr(e, "code", None))
    results.append(expect("malformed body", seen == ("BadRequestError", "invalid_request"), seen))

    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:4]))
